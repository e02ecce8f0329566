/** Measures with bounds, written as a table and as JSON. */
package org.cranberrystand.bench.report;
