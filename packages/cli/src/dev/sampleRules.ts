/** The rules with which `lentillb dev` starts if no rule file is given. */
export const SAMPLE_RULES = `service pages port any slots 12 connections 64 ramp 0s drain 5s # dev: something to read
service orders port any slots 12 connections 64 ramp 0s drain 5s # dev: something to write
route GET /pages/** to pages within 2s repeat priority normal # dev: reading may be repeated
route POST /orders to orders within 5s once priority normal # dev: an order is placed at most once
retry pages attempts 3 budget 20% # dev: reading survives a lost backend server
zone pages local spill 80% # dev: stay in the zone while it has room
`;
