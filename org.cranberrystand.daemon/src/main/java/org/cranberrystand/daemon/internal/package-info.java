/** Internal implementation of the node daemon; not part of the API. */
package org.cranberrystand.daemon.internal;
