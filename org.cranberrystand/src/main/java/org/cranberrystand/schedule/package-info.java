/** Admission, queueing and dispatch of requests. */
package org.cranberrystand.schedule;
