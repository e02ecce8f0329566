/** Cost of decisions in time, allocation and retained memory. */
package org.cranberrystand.bench.jmh;
