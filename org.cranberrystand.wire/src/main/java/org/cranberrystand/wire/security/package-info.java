/** Key derivation and message authentication between nodes. */
package org.cranberrystand.wire.security;
