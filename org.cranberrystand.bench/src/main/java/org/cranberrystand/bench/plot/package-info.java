/** Charts of benchmark results. */
package org.cranberrystand.bench.plot;
