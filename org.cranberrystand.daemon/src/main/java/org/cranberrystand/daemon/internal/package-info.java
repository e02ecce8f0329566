/** Parts of a node that are not API. */
package org.cranberrystand.daemon.internal;
