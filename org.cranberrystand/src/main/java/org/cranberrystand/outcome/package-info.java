/** Request outcomes as reported to the shop that sent the request. */
package org.cranberrystand.outcome;
