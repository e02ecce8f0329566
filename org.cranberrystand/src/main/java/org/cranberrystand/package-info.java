/** Core logic of the request scheduler; performs no I/O and starts no threads. */
package org.cranberrystand;
