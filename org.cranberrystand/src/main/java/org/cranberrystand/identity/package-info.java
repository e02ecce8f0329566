/** Request identifiers and the ledger that allows at most one dispatch for each. */
package org.cranberrystand.identity;
