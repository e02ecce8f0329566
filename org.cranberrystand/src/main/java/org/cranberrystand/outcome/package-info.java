/** Outcomes of a request as reported to the shop. */
package org.cranberrystand.outcome;
