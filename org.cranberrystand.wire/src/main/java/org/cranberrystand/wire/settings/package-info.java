/** Settings of the daemon. */
package org.cranberrystand.wire.settings;
