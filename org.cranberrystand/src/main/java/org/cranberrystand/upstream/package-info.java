/** A node's view of its upstreams: registrations, load, speed, failures and drain signals. */
package org.cranberrystand.upstream;
