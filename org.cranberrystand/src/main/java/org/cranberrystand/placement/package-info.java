/**
 * Placement decisions: rendezvous hashing, engine subsets, engine shares and the prefix cache
 * index.
 */
package org.cranberrystand.placement;
