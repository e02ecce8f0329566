/** The command-line tool, one class per verb. */
package org.cranberrystand.pgm;
