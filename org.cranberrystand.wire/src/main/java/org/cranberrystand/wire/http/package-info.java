/** Headers, problem documents and event streams as used over HTTP. */
package org.cranberrystand.wire.http;
