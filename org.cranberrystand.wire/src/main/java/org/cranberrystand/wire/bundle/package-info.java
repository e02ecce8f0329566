/** Text form, parts and signatures of bundles. */
package org.cranberrystand.wire.bundle;
