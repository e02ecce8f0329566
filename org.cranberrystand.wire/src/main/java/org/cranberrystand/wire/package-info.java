/** JSON, TOML and HTTP representations of the data exchanged with other processes. */
package org.cranberrystand.wire;
