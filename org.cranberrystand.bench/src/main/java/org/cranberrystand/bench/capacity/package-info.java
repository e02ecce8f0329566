/** Costs at the planned size, extrapolated from measured costs. */
package org.cranberrystand.bench.capacity;
