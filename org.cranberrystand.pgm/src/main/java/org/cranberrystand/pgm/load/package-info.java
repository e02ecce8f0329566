/** Open-loop load against a fleet, sent and resent as a caller does. */
package org.cranberrystand.pgm.load;
