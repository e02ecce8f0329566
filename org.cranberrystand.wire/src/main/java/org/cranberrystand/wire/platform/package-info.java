/** Values published by the platform. */
package org.cranberrystand.wire.platform;
