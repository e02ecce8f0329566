/** What a node knows about the other nodes of the fleet. */
package org.cranberrystand.membership;
