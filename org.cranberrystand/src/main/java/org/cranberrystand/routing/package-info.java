/** Routing of callers' requests: matches routes, authorizes teams and chooses upstream pools. */
package org.cranberrystand.routing;
