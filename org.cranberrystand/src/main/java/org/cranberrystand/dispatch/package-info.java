/**
 * Decisions about requests for upstreams with a fixed number of slots: which request next, at which
 * upstream, and when to refuse. No I/O, no threads and no clock.
 */
package org.cranberrystand.dispatch;
