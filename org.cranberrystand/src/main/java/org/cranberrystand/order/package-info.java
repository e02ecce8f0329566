/** Computes the desired placement of models on engines and the orders that establish it. */
package org.cranberrystand.order;
