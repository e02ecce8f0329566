/** HTTP headers, problem documents, event streams and the bodies of requests and responses. */
package org.cranberrystand.wire.http;
