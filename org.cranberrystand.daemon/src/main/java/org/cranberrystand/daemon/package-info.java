/** The daemon: listeners, upstream client, platform watches and metrics of one node. */
package org.cranberrystand.daemon;
