/**
 * The request scheduler of a node: admission control, tiered fair queueing, engine selection,
 * hand-over to peers, isolation of poison content and retry limits.
 */
package org.cranberrystand.schedule;
