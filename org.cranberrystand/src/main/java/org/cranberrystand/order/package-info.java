/** Wanted placement of models on engines and the orders that lead to it. */
package org.cranberrystand.order;
