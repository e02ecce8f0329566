/** Deterministic choices that nodes agree on without messages. */
package org.cranberrystand.placement;
