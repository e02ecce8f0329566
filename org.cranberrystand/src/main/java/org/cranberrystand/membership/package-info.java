/** Membership of the fleet: member records, load reports, cells and failure suspicion. */
package org.cranberrystand.membership;
