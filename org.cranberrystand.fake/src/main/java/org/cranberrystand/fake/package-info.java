/** Fakes of engines, plain services and the platform for tests, the demo and benchmarks. */
package org.cranberrystand.fake;
