/** Which upstream pool serves a caller's path, for which teams and within which limits. */
package org.cranberrystand.routing;
