/** Messages exchanged with engines besides requests. */
package org.cranberrystand.wire.engine;
