/** The daemon programs: one node of the fleet, and the standalone gateway. */
package org.cranberrystand.daemon;
