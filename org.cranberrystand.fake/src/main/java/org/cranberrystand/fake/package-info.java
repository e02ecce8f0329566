/** Stand-ins for engines, plain services and the platform, used by tests, demo and benchmarks. */
package org.cranberrystand.fake;
