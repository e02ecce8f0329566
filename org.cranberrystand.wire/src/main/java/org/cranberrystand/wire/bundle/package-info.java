/** Reading, writing, splitting, comparing and signing bundles in TOML. */
package org.cranberrystand.wire.bundle;
