/** Open-loop load generator that follows the retry rules for callers. */
package org.cranberrystand.pgm.load;
