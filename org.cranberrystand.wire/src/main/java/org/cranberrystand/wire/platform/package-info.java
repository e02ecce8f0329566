/** Documents published by the platform that runs the VMs. */
package org.cranberrystand.wire.platform;
