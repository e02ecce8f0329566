/** Costs at the planned size, worked out from measured slopes. */
package org.cranberrystand.bench.capacity;
