/** JSON, TOML and HTTP forms of the values that leave a process. */
package org.cranberrystand.wire;
