// One operator edits the table, two edit it concurrently, and one publishes a table with errors.
fleet(#{ gateways: 36, cuts: true });
wait(2);
watch_tables();
edit();
wait(2.5);
edit_together();
edit_wrong();
wait(2.5);
edit();
edit_together();
wait(2.5);
check();
