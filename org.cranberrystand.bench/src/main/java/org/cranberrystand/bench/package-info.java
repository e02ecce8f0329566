/** Benchmarks of the whole system. */
package org.cranberrystand.bench;
