/** Clocks, validation results and executors shared by the other packages. */
package org.cranberrystand.util;
