/** Numbered log events and the message texts of the system. */
package org.cranberrystand.event;
