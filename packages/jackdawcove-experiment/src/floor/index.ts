export type {FloorEnd} from './FloorUtils.js';
export type {FloorBackOptions} from './startFloorBack.js';
export type {FloorFrontOptions} from './startFloorFront.js';

export {startFloorBack} from './startFloorBack.js';
export {startFloorFront} from './startFloorFront.js';
