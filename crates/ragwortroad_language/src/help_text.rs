/// The text shown for `help`: an overview of queries and changes.
pub const HELP_TEXT: &str = "\
Questions:
  show TOPIC [where FIELD = VALUE [and FIELD != < > VALUE]...]
  topics: endpoints engines customers limits models versions services members
          leader nodes config orders claims changes drains operators

Changes; several joined by ';' take effect as one, 'on revision N' at the end names the base:
  add|remove customer NAME            set customer NAME rate 20/s tokens 40000/s
                                        concurrent 30 weight 100 priority 100
  add|remove key CUSTOMER HASH        forget keys CUSTOMER
  allow|deny customer NAME model M [adapter A] [version V]
  allow|deny customer NAME service S
  add model M version V [replicas 2..6] [wanted 3] [size 16gb]
  remove model M                      set model M replicas 2..6 [wanted 3]
  add|remove adapter A model M
  roll model M to V 25%               rollback model M
  add service S [idempotent|once METHOD PATH]...      remove service S
  set service S idempotent|once|by-method METHOD PATH
  drain|undrain endpoint|node|domain NAME
                                      set multiple 1.25
  add member NAME IP:PORT             remove member NAME
  add|remove operator NAME HASH
  set quorum-loss refuse              set quorum-loss go-on 30s
  set claims [window 24h] [keys 20000] [answer 4096] [budget 1048576]
             [spent 250000] [skew 60s] [run 600s]
";
