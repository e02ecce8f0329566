/** Request identifiers, and the ledger that allows at most one dispatch per identifier. */
package org.cranberrystand.identity;
