/** Settings of the daemon and of the gateway, read from TOML. */
package org.cranberrystand.wire.settings;
