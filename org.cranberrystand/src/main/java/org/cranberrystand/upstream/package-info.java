/** What a node knows about the upstreams. */
package org.cranberrystand.upstream;
