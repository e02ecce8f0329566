/** Operator bundles: kinds of work, tiers, pools, shops and teams, and the version in force. */
package org.cranberrystand.bundle;
