/**
 * Schedules requests onto upstreams with a fixed number of slots: which request is next, which
 * upstream runs it, and when a request is refused. Contains no I/O and no threads, and takes the
 * time as a parameter.
 */
package org.cranberrystand.dispatch;
