/**
 * Operator bundles: kinds of work, tiers, pools, shops, teams, deployments, and the active version.
 */
package org.cranberrystand.bundle;
