/** Usage caps and retry budgets that several entries share without exchanging a message per request. */
package dev.wigeonward.core.cap;
