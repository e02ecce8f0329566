/** Control messages exchanged with engines. */
package org.cranberrystand.wire.engine;
