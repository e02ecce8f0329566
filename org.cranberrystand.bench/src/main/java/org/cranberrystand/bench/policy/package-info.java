/** Deterministic benchmark of the dispatch policy of one node. */
package org.cranberrystand.bench.policy;
