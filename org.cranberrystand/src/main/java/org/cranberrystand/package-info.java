/** Decision logic of the request scheduler, free of I/O and threads. */
package org.cranberrystand;
